// Package autoscale decides how many servers of a service run in each failure domain, and of which kind.
//
// Reclaimable servers cost a fraction of the price of on-demand ones, but all of a domain may be taken away at
// once, and for a while none may be available. The plan spreads them so that what is left without any one domain is
// still enough.
package autoscale
