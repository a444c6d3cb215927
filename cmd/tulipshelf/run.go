package main

// Set-up of the process: its log, its memory limit and the controller.

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"tulipshelf/internal/controller"
)

// memoryLimitShare is the share of the process's memory that is set as the memory limit of the Go runtime.
// Near the limit the garbage collector runs more often. The rest is for memory that the runtime does not
// count: buffers of the operating system and the binary itself.
const memoryLimitShare = 0.6

// resignTimeout limits the time that a controller takes to end its leadership before it stops.
const resignTimeout = time.Second

// run runs the controller until ctx ends, and returns nil then. A leader resigns before it stops. The error
// is that of the controller, or a usageError if LOG_LEVEL is not a level.
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
	if err := runAndResign(ctx, node); err != nil {
		slog.Error("controller failed", "err", err)
		return err
	}
	slog.Info("stopped")
	return nil
}

// runAndResign runs a controller until ctx ends and, if it leads then, until it has resigned.
func runAndResign(ctx context.Context, node *controller.Node) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() {
		defer stop()
		resignCtx, cancel := context.WithTimeout(runCtx, resignTimeout)
		defer cancel()
		node.Resign(resignCtx)
	})()
	return node.Run(runCtx)
}

// logLevel returns the log level with that name; "" stands for info. The error is a usageError.
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
