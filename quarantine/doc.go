// Package quarantine withholds requests under which backend servers crash, over all daemons
// together.
//
// A request may crash every server that begins to answer it, and so may every request that has
// something in common with it, its subject: a part of the prompt, or customer, target and body.
//
// Daemons pool what they see. Each reports the crashes of servers that began to answer its own requests,
// with the subjects of these requests, and the answers to requests with such a subject. A crash counts against a
// subject until the same software answers a request with it: a subject that is in crashes by chance
// is also in answers, one that causes them is not. From crashesToWithhold crashes on, requests with
// the subject are no longer sent.
//
// Crashes and answers spread by gossip. A set of crashes, each of which may be marked as answered, is
// merged without regard to order, so parts of a fleet that were cut off from each other agree again
// afterwards. Neither requests nor daemons add messages, only crashes do.
//
// A block ends when the software that it is about answers a request with the subject, which a
// request that was already running may bring about. Where it may be wrong or outdated, one
// daemon, chosen by consistent hashing, allows one trial request: for a customer whose requests were in
// none of the crashes, to other software than that which crashed, or after a long time without any
// request with the subject, after crashes that came together, or after a long time in any case. The number of trials
// is bounded as well.
package quarantine
