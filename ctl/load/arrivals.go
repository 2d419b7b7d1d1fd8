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
	// at is the planned arrival time, counted from the start of the load.
	at           time.Duration
	stream       int
	promptTokens int
	outputTokens int
	// seed determines the words of the prompt.
	seed uint64
}

// arrivals returns the requests of a workload, sorted by arrival time. Each
// stream has its own random generator, so that changing one stream does not
// change the others.
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
			promptTokens: sampleLength(s.PromptTokens, random),
			outputTokens: sampleLength(s.OutputTokens, random),
			seed:         random.Uint64(),
		})
	}
}

// sampleLength draws a length from the distribution and limits it to 1..Max.
func sampleLength(l Lengths, random *rand.Rand) int {
	n := float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64())
	return min(max(int(math.Round(n)), 1), l.Max)
}

// promptWords is the vocabulary of prompts; each word counts as one token.
var promptWords = strings.Fields("grid solar meter permit feeder colour yarn season tariff load report client")

// prompt returns random words, the same ones for the same seed.
func prompt(a arrival) string {
	random := rand.New(rand.NewPCG(a.seed, 0))
	out := make([]string, a.promptTokens)
	for i := range out {
		out[i] = promptWords[random.IntN(len(promptWords))]
	}
	return strings.Join(out, " ")
}
