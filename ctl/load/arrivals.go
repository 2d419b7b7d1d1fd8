package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one request to send.
type arrival struct {
	// at is the time from the start of the load.
	at           time.Duration
	stream       int
	promptTokens int
	outputTokens int
	// seed chooses the words of the prompt.
	seed uint64
}

// arrivals returns the requests of a workload in the order of their times.
// Each stream has a generator of its own, so that changing one leaves the
// others as they were.
func arrivals(w *Workload) []arrival {
	var all []arrival
	for i := range w.Streams {
		all = append(all, streamArrivals(w, i)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func streamArrivals(w *Workload, i int) []arrival {
	s := w.Streams[i]
	random := rand.New(rand.NewPCG(w.Seed, uint64(i)))
	end := time.Duration(w.DurationMs) * time.Millisecond
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= end {
			return out
		}
		out = append(out, arrival{
			at:           at,
			stream:       i,
			promptTokens: draw(s.PromptTokens, random),
			outputTokens: draw(s.OutputTokens, random),
			seed:         random.Uint64(),
		})
	}
}

func draw(l Lengths, random *rand.Rand) int {
	n := float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64())
	return min(max(int(math.Round(n)), 1), l.Max)
}

// words are the vocabulary of prompts; each counts as one token.
var words = strings.Fields("grid solar meter permit feeder colour yarn season tariff load report client")

func prompt(a arrival) string {
	random := rand.New(rand.NewPCG(a.seed, 0))
	out := make([]string, a.promptTokens)
	for i := range out {
		out[i] = words[random.IntN(len(words))]
	}
	return strings.Join(out, " ")
}
