package ctl

import (
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
)

// proposed is the answer to a proposal.
type proposed struct {
	ChangeID string `json:"change_id"`
	Digest   string `json:"digest"`
}

// bundleReview is what an operator reads before approving a change.
type bundleReview struct {
	Proposal bundle.Proposal `json:"proposal"`
	Findings finding.List    `json:"findings"`
	Current  bundle.Pointer  `json:"current"`
	Diff     string          `json:"diff"`
}

// bundleStatus tells which version is in force where.
type bundleStatus struct {
	Current bundle.Pointer  `json:"current"`
	Daemons []daemonVersion `json:"daemons"`
}

type daemonVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// bundleHistory lists versions, the newest first.
type bundleHistory struct {
	Versions []bundle.Record `json:"versions"`
}

func timeCell(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
