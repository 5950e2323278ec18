// Package tracer records how the time of a call was spent, and stores traces for look-up by request id.
package tracer
