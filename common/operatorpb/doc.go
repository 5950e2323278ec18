// Package operatorpb contains the generated Twirp code of the service between operators and control.
package operatorpb
