package upstream

import (
	"context"
	"testing"
	"time"
)

// It guards against whole answers that are refused because the time of another request ended while the server was asked.
func TestAnswerIsWholeThoughTheTimeOfAnotherEndsDuringItsProbe(t *testing.T) {
	u := &soundServer{answerTime: 500 * time.Millisecond, probeTime: 100 * time.Millisecond, probeAnswer: namedAnswer}
	s, p := serve(t, u.serve), newPool()
	readAnswer(t, p, s, "warm", nil)
	for range 5 {
		late := make(chan struct{})
		go func() {
			defer close(late)
			readAnswer(t, p, s, "late", func(ctx context.Context) context.Context {
				limited, cancel := context.WithTimeout(ctx, settleTime+50*time.Millisecond)
				context.AfterFunc(limited, cancel)
				return limited
			})
		}()
		time.Sleep(20 * time.Millisecond)
		if liveness, err := readAnswer(t, p, s, "r", nil); liveness == NotShown {
			t.Errorf("not whole: %v", err)
		}
		<-late
	}
}
