package autoscale

import (
	"math"
	"time"
)

const (
	// targetOccupancy is the share of the slots, and targetMemory that of the memory, in use at which there
	// are as many servers as needed. Bursts that double the use within the time in which a server starts
	// then leave requests unharmed.
	targetOccupancy = 0.3
	targetMemory    = 0.45
	// targetUnread is the number of unread prompts for each server at which there are as many servers as needed.
	// Servers read one prompt at a time, and the first event comes some decoding steps after it.
	targetUnread = 1.6
	// holdBoots is for how many boot times the highest demand counts.
	holdBoots = 3
	// smoothing is the time in which a change of the use counts by half.
	smoothing = time.Second
)

// Use is what the servers of a service do at a moment, over all daemons.
type Use struct {
	// Servers is the number of servers that get requests.
	Servers int
	// Unread is the number of prompts of usual size that the servers have still to read.
	Unread float64
	// Requests is the number of requests at the servers, Slots the number that they run at a time.
	Requests, Slots float64
	// MemoryUsed and Memory are in tokens; Memory is zero if it isn't known.
	MemoryUsed, Memory float64
}

// needed returns the number of servers at which the use is at its targets.
func (u Use) needed() float64 {
	n := u.Unread / targetUnread
	n = max(n, u.Requests/max(1, u.Slots)/targetOccupancy*float64(u.Servers))
	if u.Memory > 0 {
		n = max(n, u.MemoryUsed/u.Memory/targetMemory*float64(u.Servers))
	}
	return n
}

// Demand follows the number of servers that are needed. It answers waves, whose troughs must not end servers that
// the next wave needs, and bursts, which must be followed at once.
type Demand struct {
	boot     time.Duration
	smoothed float64
	updated  time.Duration
	// began is when the first use was seen.
	began time.Duration
	peaks []peak
}

// peak is the highest need within a span of one boot time.
type peak struct {
	at     time.Duration
	needed float64
}

// Observe takes in the use at a time. Without servers nothing is used, which says nothing of the demand. The boot time is how long a server takes to start.
func (d *Demand) Observe(now time.Duration, u Use, boot time.Duration) {
	if u.Servers == 0 || u.Requests == 0 && d.peaks == nil {
		return
	}
	n := u.needed()
	if d.peaks == nil {
		d.began, d.updated = now, now
	}
	d.boot = boot
	weight := 1 - math.Exp2(-float64(now-d.updated)/float64(smoothing))
	d.smoothed += weight * (n - d.smoothed)
	d.updated = now
	d.addPeak(now, d.smoothed)
}

func (d *Demand) addPeak(now time.Duration, n float64) {
	if k := len(d.peaks); k == 0 || now-d.peaks[k-1].at >= d.boot {
		d.peaks = append(d.peaks, peak{at: now})
	}
	last := &d.peaks[len(d.peaks)-1]
	last.needed = max(last.needed, n)
	for now-d.peaks[0].at > (holdBoots+1)*d.boot {
		d.peaks = d.peaks[1:]
	}
}

// Needed returns the highest need of the last while. It returns false until the use has been seen for that long.
func (d *Demand) Needed(now time.Duration) (int, bool) {
	highest := 0.0
	for _, p := range d.peaks {
		highest = max(highest, p.needed)
	}
	return int(math.Ceil(highest)), d.peaks != nil && now-d.began >= holdBoots*d.boot
}
