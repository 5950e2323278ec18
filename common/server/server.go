package server

import (
	"context"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/bounder"
)

// Config configures a Server. Zero durations and sizes select the defaults of net/http.
type Config struct {
	Listener          net.Listener
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	MaxHeaderBytes    int
	// Admitter limits the connections and what they hold, as those of Port; nil for one with the process's own limits.
	Admitter *admitter.Admitter
	Port     admitter.Port
	// Timeouts replace ReadHeaderTimeout and IdleTimeout where they aren't 0; nil for none. ReadTimeout must be 0 then.
	Timeouts func() admitter.Timeouts
	// MaxBodyBytes limits the body of a request, and the bodies of all requests that are in memory together; 0 for no limit.
	MaxBodyBytes int64
}

// Server is a running HTTP server.
type Server struct {
	srv *khttp.Server
	err chan error
}

// New starts serving; Close stops it.
func New(cfg Config) *Server {
	s := &Server{err: make(chan error, 1)}
	handler := respondAtOnce(cfg.Handler)
	if cfg.MaxBodyBytes > 0 {
		handler = bounder.New(bounder.Config{MessageBytes: cfg.MaxBodyBytes, TotalBytes: cfg.MaxBodyBytes}).Handler(handler)
	}
	cfg.Admitter = admitter.OrDefault(cfg.Admitter, zerolog.Nop())
	handler = admitter.Handler(handler)
	// The filter bypasses the kratos router, which would redirect paths such as //x. The address is set because kratos otherwise
	// enumerates the machine's network interfaces, which not every platform permits.
	s.srv = khttp.NewServer(
		khttp.Listener(cfg.Admitter.Listener(cfg.Listener, cfg.Port, cfg.Timeouts)),
		khttp.Address(cfg.Listener.Addr().String()),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	s.srv.ReadHeaderTimeout = cfg.ReadHeaderTimeout
	s.srv.ReadTimeout, s.srv.WriteTimeout = cfg.ReadTimeout, cfg.WriteTimeout
	s.srv.IdleTimeout = cfg.IdleTimeout
	s.srv.MaxHeaderBytes = cfg.MaxHeaderBytes
	s.srv.ConnContext, s.srv.ConnState = admitter.ConnContext, admitter.ConnState
	go func() { s.err <- s.srv.Start(context.Background()) }()
	return s
}

// Close stops accepting connections and waits for requests in flight until ctx ends.
func (s *Server) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop server") }()
	if err = s.srv.Stop(ctx); err != nil {
		return err
	}
	return <-s.err
}
