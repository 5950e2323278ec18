// Package informer serves operators' queries about an entry and, by querying the other entries, about the whole fleet.
package informer
