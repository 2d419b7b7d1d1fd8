package upstream

import (
	"context"
	"testing"
	"time"
)

// It guards against whole answers that are refused because another caller left while the server was asked, which closes the
// reference connection of all.
func TestAnswerIsWholeThoughAnotherCallerLeavesDuringItsProbe(t *testing.T) {
	u := &soundServer{answerTime: 500 * time.Millisecond, probeTime: 100 * time.Millisecond, probeAnswer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}
	s, p := serve(t, u.serve), newPool()
	readAnswer(t, p, s, "warm", nil)
	for range 5 {
		late := make(chan struct{})
		go func() {
			defer close(late)
			readAnswer(t, p, s, "late", func(ctx context.Context) context.Context {
				left, cancel := context.WithCancel(ctx)
				time.AfterFunc(settleTime+50*time.Millisecond, cancel)
				return left
			})
		}()
		time.Sleep(20 * time.Millisecond)
		if liveness, err := readAnswer(t, p, s, "r", nil); liveness == NotShown {
			t.Errorf("not whole: %v", err)
		}
		<-late
	}
}
