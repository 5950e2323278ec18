package supervisor

import (
	"path/filepath"
	"time"

	"peridotswitch.example/peridot-control/keeper"
)

// Claims configures the claim replica. Zero values select the keeper's defaults.
type Claims struct {
	Retention          time.Duration
	UnstampedRetention time.Duration
	AnswerRetention    time.Duration
	Skew               time.Duration
	MaxKeys            int
}

func newKeeper(cfg Config) (*keeper.Keeper, error) {
	return keeper.New(keeper.Config{
		Dir:                filepath.Join(cfg.DataDir, "claims"),
		Retention:          cfg.Claims.Retention,
		UnstampedRetention: cfg.Claims.UnstampedRetention,
		AnswerRetention:    cfg.Claims.AnswerRetention,
		Skew:               cfg.Claims.Skew,
		MaxKeys:            cfg.Claims.MaxKeys,
		OnFailure:          cfg.OnFailure,
		Sync:               cfg.Sync,
		Log:                cfg.Log,
	})
}
