// Package follower keeps an entry on the newest accepted configuration, received from control or from other entries, and never
// goes back to an older revision.
package follower
