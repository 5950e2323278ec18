package quarantiner

import (
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/escaper"
)

// maxPathBytes limits the path of a suspect in messages. It is only shown to operators; a full list of paths of the maximum length would be too
// large for one message.
const maxPathBytes = 1 << 10

// escapePath returns the beginning of a path with its query, which may hold any bytes, as UTF-8 text.
func escapePath(path string) string { return escaper.Escape(path[:min(len(path), maxPathBytes)]) }

// EncodeReport returns a report as a message to control.
func EncodeReport(r *CrashReport) *delivererpb.Suspect {
	s := &delivererpb.Suspect{
		Fingerprint: escaper.Escape(r.Fingerprint),
		Service:     escaper.Escape(r.Service),
		Method:      escaper.Escape(r.Method),
		Path:        escapePath(r.Path),
		Cleared:     r.Cleared,
	}
	for _, c := range r.Crashes {
		s.Crashes = append(s.Crashes, &delivererpb.Crash{InstanceId: escaper.Escape(c.InstanceID), Incarnation: c.Incarnation})
	}
	return s
}

// DecodeReport returns a contained request of control's list.
func DecodeReport(s *delivererpb.Suspect) CrashReport {
	r := CrashReport{
		Fingerprint: escaper.Unescape(s.Fingerprint),
		Service:     escaper.Unescape(s.Service),
		Method:      escaper.Unescape(s.Method),
		Path:        escaper.Unescape(s.Path),
		Cleared:     s.Cleared,
	}
	for _, c := range s.Crashes {
		r.Crashes = append(r.Crashes, Crash{InstanceID: escaper.Unescape(c.InstanceId), Incarnation: c.Incarnation})
	}
	return r
}
