package picker

// recordRateLimit records whether the response to an attempt names a limit. A response to an attempt that began before the limit was
// learned may have been made before the server named it, and one that another server gave or that was not run says nothing about its end.
func (g *group) recordRateLimit(c *Choice, r *Result) {
	s, now := c.server, c.now()
	if r.Err != nil && !r.Shed || r.Unreachable || r.RateLimit.Malformed || r.RateLimit == s.rateLimit {
		return
	}
	if !r.RateLimit.Named && (r.Shed || !c.begin.After(s.limitedAt)) {
		return
	}
	s.rateLimit, s.limitedAt = r.RateLimit, now
	if g.onRateLimit != nil {
		g.onRateLimit(s.announced.Key(), s.rateLimit)
	}
}
