package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace places 100 long requests per second in deployments of several
// sizes.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 300, 3000} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			t := newTracker(1)
			all := servers(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := now.Add(time.Duration(i) * 10 * time.Millisecond)
				f := place(t, at, all, long(fmt.Sprint("subject-", i%300), i))
				f.RecordProgress(at)
				f.End(at, Served)
				t.takeChanges(false)
			}
		})
	}
}
