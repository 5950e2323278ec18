// Package followerpb contains the generated Twirp code of the service through which entries compare their revisions.
package followerpb
