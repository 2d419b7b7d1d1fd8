package capacity

import "testing"

func measureLinks(t *testing.T, r *recorder)    {}
func measureBundle(t *testing.T, r *recorder)   {}
func measureMessages(t *testing.T, r *recorder) {}
func measureRequests(t *testing.T, r *recorder) {}
func measureEntries(t *testing.T, r *recorder)  {}
