// Package spreaderpb contains the generated Twirp code of the service through which entries share announcements, load reports
// and crash suspects.
package spreaderpb
