package upstream

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a part of a response that counts as whole because its server, which lives on, cut it off while it was unread.
func TestResponseThatWasUnreadForLongIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		serverPause, readerPause time.Duration
		want                     Liveness
	}{
		"read at once":         {0, 0, ByConnection},
		"short pause":          {100 * time.Millisecond, 500 * time.Millisecond, ByConnection},
		"silent for long":      {maxReadPause + 100*time.Millisecond, 0, NotShown},
		"reader busy for long": {0, maxReadPause + 100*time.Millisecond, NotShown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &untilCloseServer{probeHead: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", pause: c.serverPause}
			s, p := serve(t, u.serve), newPool()
			answerOf(t, p, s, "first") // Later responses have a reference connection.
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp := p.answer(ctx, t, s, "second")
			_, err := resp.Read(make([]byte, 1))
			assert.NilError(t, err)
			time.Sleep(c.readerPause)
			_, err = io.ReadAll(resp)
			assert.NilError(t, err)
			liveness, _ := p.LivedOn(ctx, resp, s, anyProbe(s))
			assert.Equal(t, liveness, c.want)
		})
	}
}
