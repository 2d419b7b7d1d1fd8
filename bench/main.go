// Command bench measures, on the loopback interface, the latency that a daemon
// adds to a request and the memory that an open stream takes. It starts the
// project's binaries from bin/.
//
// The gateway under test schedules none of the servers, so each request needs a
// reservation and a grant from another daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	warmUp = 2 * time.Second
	// latencyRate is in requests per second.
	latencyRate     = 200
	latencyDuration = 15 * time.Second
	streamCount     = 1000
	streamTokens    = 150
	streamGapMs     = 100

	targetP50 = time.Millisecond
	targetP99 = 5 * time.Millisecond
)

func main() {
	// Writing to a closed standard output must not kill the benchmark before it
	// has stopped its child processes.
	signal.Ignore(syscall.SIGPIPE)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	d, err := startDeployment(ctx)
	if err != nil {
		return err
	}
	defer d.stop()
	if err := measureLatency(ctx, d); err != nil {
		return err
	}
	return measureStreams(ctx, d)
}

// measureLatency sends the same open-loop load first directly to the engine and
// then through the gateway, and compares the latencies.
func measureLatency(ctx context.Context, d *deployment) error {
	body := []byte(`{"model":"m","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hi"}]}`)
	for _, url := range []string{d.engineURL, d.gatewayURL} {
		if _, err := openLoop(ctx, url, body, latencyRate, warmUp); err != nil {
			return err
		}
	}
	direct, err := openLoop(ctx, d.engineURL, body, latencyRate, latencyDuration)
	if err != nil {
		return err
	}
	routed, err := openLoop(ctx, d.gatewayURL, body, latencyRate, latencyDuration)
	if err != nil {
		return err
	}
	p50 := routed.quantile(50) - direct.quantile(50)
	p99 := routed.quantile(99) - direct.quantile(99)
	fmt.Printf("bench: latency rate=%d requests=%d failed=%d direct_p50=%v direct_p99=%v routed_p50=%v routed_p99=%v\n",
		latencyRate, routed.count(), routed.failed, direct.quantile(50), direct.quantile(99), routed.quantile(50), routed.quantile(99))
	fmt.Printf("bench: added p50=%v target=%v met=%v\n", p50, targetP50, p50 < targetP50)
	fmt.Printf("bench: added p99=%v target=%v met=%v\n", p99, targetP99, p99 < targetP99)
	if routed.failed > 0 {
		return fmt.Errorf("%d routed requests failed: %w", routed.failed, routed.lastErr)
	}
	return nil
}

// measureStreams opens streamCount streams at once and measures the gateway's
// resident memory halfway through them.
func measureStreams(ctx context.Context, d *deployment) error {
	before, err := d.gatewayMemory()
	if err != nil {
		return err
	}
	body := fmt.Appendf(nil, `{"model":"slow","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hi"}]}`, streamTokens)
	open := openStreams(ctx, d.gatewayURL, body, streamCount)
	time.Sleep(streamTokens * streamGapMs * time.Millisecond / 2)
	during, err := d.gatewayMemory()
	if err != nil {
		return err
	}
	open.wait()
	fmt.Printf("bench: streams=%d complete=%d failed=%d rss_before_kb=%d rss_during_kb=%d per_stream_kb=%.1f\n",
		streamCount, open.complete.Load(), open.failed.Load(), before, during, float64(during-before)/streamCount)
	if open.failed.Load() > 0 {
		return fmt.Errorf("%d of %d streams failed", open.failed.Load(), streamCount)
	}
	return nil
}
