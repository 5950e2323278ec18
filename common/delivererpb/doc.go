// Package delivererpb contains the generated Twirp code of the service through which entries get the configuration from control.
package delivererpb
