package proof

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// seedVariable is the environment variable that overrides the default seeds. Its
// value is one seed, or a range such as 10..19.
const seedVariable = "PROOF_SEED"

// Seeds returns the seeds from first to last, or the seeds given in the
// environment variable PROOF_SEED.
func Seeds(t testing.TB, first, last uint64) []uint64 {
	t.Helper()
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		first, last, err = parseSeeds(text)
		if err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
	}
	var seeds []uint64
	for s := first; s <= last; s++ {
		seeds = append(seeds, s)
	}
	return seeds
}

func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "..")
	if !isRange {
		to = from
	}
	if first, err = strconv.ParseUint(from, 10, 32); err != nil {
		return 0, 0, fmt.Errorf("seed %q is not an unsigned 32-bit number", from)
	}
	if last, err = strconv.ParseUint(to, 10, 32); err != nil {
		return 0, 0, fmt.Errorf("seed %q is not an unsigned 32-bit number", to)
	}
	if last < first {
		return 0, 0, fmt.Errorf("range %q is empty", text)
	}
	return first, last, nil
}

// Summary is the result of one proof.
type Summary struct {
	ID         ID
	Histories  int
	Events     int
	Violations int
	Seeds      []uint64
}

// Line returns the summary in the format that make proofs parses.
func (s Summary) Line() string {
	first, last := uint64(0), uint64(0)
	if len(s.Seeds) > 0 {
		first, last = s.Seeds[0], s.Seeds[len(s.Seeds)-1]
	}
	return fmt.Sprintf("proof: %s histories=%d events=%d violations=%d seeds=%d..%d",
		s.ID, s.Histories, s.Events, s.Violations, first, last)
}

// Line prints the summary of a proof on standard output.
func Line(id ID, histories, events, violations int, seeds []uint64) {
	fmt.Println(Summary{id, histories, events, violations, seeds}.Line())
}
