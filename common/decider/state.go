package decider

// State is the state of the latest claim of a key.
type State int

// The values of State; their numbers are those of claimerpb.State.
const (
	// None says that the key was never claimed.
	None State = iota
	// Claimed says that the claimant may send the call or has sent it. It may also have crashed, so that the state stays.
	Claimed
	// Released says that no backend server has run the call under this claim and none will.
	Released
	// Ran says that a backend server has run the call and responded.
	Ran
	// Unknown says that the claimant doesn't know whether a backend server ran the call.
	Unknown
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"none", "claimed", "released", "ran", "unknown"}[s]
}

// CanClaim reports whether a new claim may follow s.
func (s State) CanClaim() bool { return s == None || s == Released }

// CanSettle reports whether the claimant may replace s by next; only the claimant may settle its claim.
func (s State) CanSettle(next State) bool {
	switch next {
	case Released, Unknown:
		return s == Claimed
	case Ran:
		return s == Claimed || s == Unknown
	}
	return false
}

// IsFinal reports whether no other state can follow s.
func (s State) IsFinal() bool { return s == Ran }
