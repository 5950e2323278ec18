// Package quarantiner counts the crashes of backend servers that entries report and decides which requests all entries refuse.
package quarantiner
