package upstream

import (
	"testing"
	"time"
)

// It guards against whole answers that are refused because answers of the same server wait for each other's probes.
func TestAnswersAreWholeThoughProbesTakeLong(t *testing.T) {
	checkAnswers(t, &soundServer{probeTime: 600 * time.Millisecond, probeAnswer: namedAnswer}, 20, 200*time.Millisecond)
}
