// Package steward maintains the membership of the control cluster: on the leader it replaces failed members with spares and adds
// spares as voters, one membership change at a time.
package steward
