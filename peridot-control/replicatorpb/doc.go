// Package replicatorpb contains the generated Twirp code of the service between control members, and of the records of their log.
package replicatorpb
