package configurer

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/integrii/flaggy"
)

// Setting is a value that an operator may set. The flag has precedence over the environment variable, and that over the default.
type Setting struct {
	// Flag is the name of the flag without the dashes; for listen, the environment variable is PERIDOT_LISTEN.
	Flag    string
	Usage   string
	Default string
	// Allowed describes the values that Set accepts.
	Allowed string
	// Switch allows the flag without a value, which means true.
	Switch bool
	// Set parses and stores the value; it returns an error if the value is not allowed.
	Set func(text string) error
}

// Error reports a setting whose value is not allowed.
type Error struct {
	Flag    string
	Value   string
	Allowed string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("--%s (%s) is %q: %v; want %s", e.Flag, EnvName(e.Flag), e.Value, e.Err, e.Allowed)
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return "PERIDOT_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// AddFlags adds the settings to a parser as flags. The returned function must be called after parsing: it sets all values and returns
// an *Error for the first one that is not allowed.
func AddFlags(s *flaggy.Subcommand, settings []Setting, getenv func(string) (string, bool)) (resolve func() error) {
	values, switches := make([]string, len(settings)), make([]bool, len(settings))
	for i := range settings {
		st := &settings[i]
		usage := fmt.Sprintf("%s; %s; default %q [%s]", st.Usage, st.Allowed, st.Default, EnvName(st.Flag))
		if st.Switch {
			s.Bool(&switches[i], "", st.Flag, usage)
			continue
		}
		s.String(&values[i], "", st.Flag, usage)
	}
	return func() error {
		for i := range settings {
			if switches[i] {
				values[i] = "true"
			}
			if err := settings[i].resolve(values[i], getenv); err != nil {
				return err
			}
		}
		return nil
	}
}

// resolve sets the value of the flag, else that of the environment variable, else the default.
func (s *Setting) resolve(value string, getenv func(string) (string, bool)) error {
	if value == "" {
		value = s.Default
		if v, ok := getenv(EnvName(s.Flag)); ok {
			value = v
		}
	}
	if err := s.Set(value); err != nil {
		return &Error{Flag: s.Flag, Value: value, Allowed: s.Allowed, Err: err}
	}
	return nil
}

// String returns a setter for a string that must not be empty.
func String(p *string) func(string) error {
	return func(v string) error {
		if v == "" {
			return fmt.Errorf("empty")
		}
		return OptionalString(p)(v)
	}
}

// OptionalString returns a setter for a string that may be empty. It must be UTF-8, since names are sent to other processes as text.
func OptionalString(p *string) func(string) error {
	return func(v string) error {
		if !utf8.ValidString(v) {
			return fmt.Errorf("not UTF-8 text")
		}
		*p = v
		return nil
	}
}

// IP returns a setter for an IP address.
func IP(p *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddr(v); err != nil {
			return err
		}
		*p = v
		return nil
	}
}

// Address returns a setter for an IP address with a port.
func Address(p *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return err
		}
		*p = v
		return nil
	}
}

// Addresses returns a setter for a non-empty, comma-separated list of IP addresses with ports.
func Addresses(p *[]string) func(string) error {
	return func(v string) error {
		list := strings.Split(v, ",")
		for _, a := range list {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return err
			}
		}
		*p = list
		return nil
	}
}

// Duration returns a setter for a duration from lower to upper, both inclusive.
func Duration(p *time.Duration, lower, upper time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return err
		}
		if d < lower || d > upper {
			return fmt.Errorf("out of range")
		}
		*p = d
		return nil
	}
}

// Int returns a setter for an integer from lower to upper, both inclusive.
func Int(p *int, lower, upper int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return err
		}
		if n < lower || n > upper {
			return fmt.Errorf("out of range")
		}
		*p = n
		return nil
	}
}

// Bool returns a setter for a boolean.
func Bool(p *bool) func(string) error {
	return func(v string) (err error) {
		*p, err = strconv.ParseBool(v)
		return err
	}
}
