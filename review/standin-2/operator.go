package main

import (
	"time"
)

// operator sends orders to the nodes that serve control.
type operator struct {
	f   *fleet
	rec *recorder
}

// maxPause is the longest pause between two attempts.
const maxPause = time.Second

// order sends an order to the member with the given number first, and again to the next ones until one acknowledges it. A member has one
// second to answer. It returns the time of the acknowledgement, and false if there was none within limit.
func (o *operator) order(what, path string, body any, first int, limit time.Duration) (time.Time, bool) {
	begin, pause := time.Now(), 20*time.Millisecond
	for i := 0; time.Since(begin) < limit; i++ {
		m := o.f.control[(first+i)%len(o.f.control)]
		o.rec.log("operator sends %s to %s", what, m.name)
		status, reply := post(m.at(controlPort), path, body, time.Second)
		o.rec.log("operator gets status %d from %s for %s %.120s", status, m.name, what, reply)
		if status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
	return time.Time{}, false
}

func (o *operator) mustOrder(what, path string, body any, first int) time.Time {
	at, ok := o.order(what, path, body, first, 15*time.Second)
	if !ok {
		fatalf("%s was not acknowledged", what)
	}
	return at
}

type object = map[string]any

// config returns a config with one safe and one unsafe route to each service.
func config(version string, services ...string) object {
	resources := []any{}
	for _, s := range services {
		resources = append(resources,
			object{"type": "routes", "metadata": object{"name": "safe-" + s}, "spec": object{"host": "shop.example", "path_prefix": "/" + s + "/", "kind": "safe", "timeout_ms": 2000, "slo_ms": 400, "priority": 1, "service": s, "attempts": 2}},
			object{"type": "routes", "metadata": object{"name": "unsafe-" + s}, "spec": object{"host": "shop.example", "path_prefix": "/" + s + "-order/", "kind": "unsafe", "timeout_ms": 2000, "slo_ms": 400, "priority": 1, "service": s, "attempts": 2}},
			object{"type": "services", "metadata": object{"name": s}, "spec": object{"health_path": "/health", "max_conns": 240, "protocol": "h1", "tls": false}},
		)
	}
	resources = append(resources, object{"type": "limits", "metadata": object{}, "spec": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return object{"version": version, "resources": resources}
}
