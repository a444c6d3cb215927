// Command tulipshelf is the controller daemon of a cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"tulipshelf/internal/config"
	"tulipshelf/internal/controller"
)

// version of the program.
const version = "0.1.0"

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2 // bad arguments, settings or operator file
)

// usageError marks what the caller has to put right.
type usageError struct{ error }

func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(os.Stderr, "tulipshelf:", line)
	}
	if _, ok := err.(usageError); ok {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	var settingsPath, operatorPath string
	root := &cobra.Command{
		Use:           "tulipshelf --config FILE",
		Short:         "Controller of the tulipshelf cluster scheduler",
		Long:          "Runs one controller with the platform's settings (JSON) and, optionally,\nthe operators' own settings (S-expressions). LOG_LEVEL is error, info or debug.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, o, err := read(settingsPath, operatorPath)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return run(ctx, s, o)
		},
	}
	root.SetContext(context.Background())
	root.PersistentFlags().StringVar(&settingsPath, "config", "", "settings file of the platform")
	root.PersistentFlags().StringVar(&operatorPath, "operator", "", "operator file")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "tulipshelf", version)
		},
	}, &cobra.Command{
		Use:   "check-config",
		Short: "Check the settings and the operator file, and name every fault",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, _, err := read(settingsPath, operatorPath)
			if err != nil {
				return err
			}
			for _, line := range s.Warnings() {
				fmt.Fprintln(cmd.OutOrStdout(), "note:", line)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are sound")
			return nil
		},
	})
	return root
}

func read(settingsPath, operatorPath string) (*config.Settings, config.Operator, error) {
	if settingsPath == "" {
		return nil, config.Operator{}, usageError{fmt.Errorf("--config FILE is required")}
	}
	s, err := config.ReadSettings(settingsPath)
	o, oerr := config.ReadOperator(operatorPath)
	switch {
	case err != nil && oerr != nil:
		return nil, o, usageError{fmt.Errorf("%w\n%w", err, oerr)}
	case err != nil:
		return nil, o, usageError{err}
	case oerr != nil:
		return nil, o, usageError{oerr}
	}
	return s, o, nil
}

// memoryShare of the memory allowed is where the collector starts to work
// harder; the rest is for stacks, buffers of the system and the binary itself.
const memoryShare = 0.6

func run(ctx context.Context, s *config.Settings, o config.Operator) error {
	var level slog.Level
	switch l := os.Getenv("LOG_LEVEL"); l {
	case "", "info":
		level = slog.LevelInfo
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", l)}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", s.Node))
	debug.SetMemoryLimit(int64(float64(s.Resources.MemBytes) * memoryShare))
	slog.Info("starting", "listen", s.Listen, "zone", s.Zone)
	for _, line := range s.Warnings() {
		slog.Info("settings are odd", "what", line)
	}
	if err := controller.New(s, o, controller.Network{}).Run(ctx); err != nil {
		slog.Error("ended", "err", err)
		return err
	}
	slog.Info("stopped")
	return nil
}
