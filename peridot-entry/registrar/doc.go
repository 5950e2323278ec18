// Package registrar keeps the table of backend servers. A server stays in the table while its lease, which its announcements renew, lasts.
package registrar
