package main

// The process around the controller: its log, its memory and its end.

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"tulipshelf/internal/controller"
)

// memoryLimitShare of the memory allowed is where the garbage collector starts to work harder; the rest
// is for what it does not count: buffers of the system and the binary itself.
const memoryLimitShare = 0.6

// run runs the controller until ctx ends.
func run(ctx context.Context, configuration configuration) error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings := configuration.settings
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler).With("node", settings.Node))
	debug.SetMemoryLimit(int64(float64(settings.Resources.MemBytes) * memoryLimitShare))
	slog.Info("starting", "listen", settings.Listen, "zone", settings.Zone)
	for _, warning := range settings.Warnings() {
		slog.Info("unusual setting", "warning", warning)
	}
	node := controller.New(settings, configuration.operator, controller.Network{})
	if err := node.Run(ctx); err != nil {
		slog.Error("controller failed", "err", err)
		return err
	}
	slog.Info("stopped")
	return nil
}

// logLevel returns the level of that name; "" is info. Its error is a usageError.
func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", name)}
}
