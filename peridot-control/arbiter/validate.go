package arbiter

import (
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits of what a backend server announces of itself. Each record is sent to every entry.
const (
	maxNameBytes = 256
	maxSlots     = 1 << 16
)

// Validate returns an error for a server that no entry could use or that can't be passed on to entries. Only the identity of a server that
// has left is checked.
func (s *Server) Validate() error {
	if err := validateName("instance id", s.InstanceID); err != nil {
		return err
	}
	if s.State == Left {
		return nil
	}
	if err := validateName("service", s.Service); err != nil {
		return err
	}
	if len(s.AvailabilityZone) > 0 {
		if err := validateName("availability zone", s.AvailabilityZone); err != nil {
			return err
		}
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return errors.Errorf("%d slots, want 1 to %d", s.Slots, maxSlots)
	}
	return validateAddress(s.Address)
}

// validateName checks that a name is printable text of bounded length: records are encoded as text, which bytes of another kind don't survive.
func validateName(what, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Errorf("%s of %d bytes, want 1 to %d", what, len(name), maxNameBytes)
	}
	if !utf8.ValidString(name) {
		return errors.Errorf("%s is %q, want UTF-8 text", what, name)
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return errors.Errorf("%s is %q, want printable characters", what, name)
		}
	}
	return nil
}

// validateAddress checks that address names one host and port. An entry that dials an unspecified address reaches itself.
func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return errors.Errorf("address is %q, want the IP number and port of a host", address)
	}
	return nil
}
