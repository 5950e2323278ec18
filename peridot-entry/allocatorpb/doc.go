// Package allocatorpb contains the messages by which entries take tokens of account rate limits from each other.
package allocatorpb
