package backend

import "time"

// Notice is what a server says of itself in the head of a response. The zero value says nothing.
type Notice struct {
	// Limited is set if the server states a rate limit, RateLimit is the number of requests per second that it
	// takes from all daemons together.
	Limited   bool
	RateLimit float64
	// RetryAfter is how long the server wants no further requests from the host that it answered; zero if it
	// doesn't say.
	RetryAfter time.Duration
	// Draining is set if the server is about to stop.
	Draining bool
	// MaxRefusals is the number of requests per second that the server can refuse for want of room before it
	// fails; zero if it doesn't say.
	MaxRefusals float64
}
