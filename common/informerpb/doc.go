// Package informerpb contains the generated Twirp code of the service through which entries request reports and traces from each other.
package informerpb
