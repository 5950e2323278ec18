// Package spreaderpb is the generated service by which entries share announcements, load reports and crashes.
package spreaderpb
