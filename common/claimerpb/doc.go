// Package claimerpb contains the generated Twirp code of the service between entries and claim replicas.
package claimerpb
