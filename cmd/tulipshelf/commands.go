package main

// The command line.

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"tulipshelf/internal/config"
)

// configFiles holds the paths of the files given on the command line.
type configFiles struct {
	settings string
	operator string // "": the default settings are used
}

// configuration holds the settings read from both files.
type configuration struct {
	settings *config.Settings
	operator config.Operator
}

var errNoSettings = errors.New("--config FILE is required")

// read reads and checks both files. The error is a usageError with one line for each fault of either file.
func (f *configFiles) read() (configuration, error) {
	if f.settings == "" {
		return configuration{}, usageError{errNoSettings}
	}
	settings, settingsErr := config.ReadSettings(f.settings)
	operator, operatorErr := config.ReadOperator(f.operator)
	if err := errors.Join(settingsErr, operatorErr); err != nil {
		return configuration{}, usageError{err}
	}
	return configuration{settings, operator}, nil
}

// newRootCommand returns the command that runs the controller, with its subcommands.
func newRootCommand() *cobra.Command {
	var files configFiles
	root := &cobra.Command{
		Use:   "tulipshelf --config FILE",
		Short: "Controller of the tulipshelf cluster scheduler",
		Long: "Runs one controller with the platform's settings (JSON) and, optionally,\n" +
			"the operators' own settings (S-expressions). LOG_LEVEL is error, info or debug.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configuration, err := files.read()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return run(ctx, configuration)
		},
	}
	root.PersistentFlags().StringVar(&files.settings, "config", "", "settings file of the platform")
	root.PersistentFlags().StringVar(&files.operator, "operator", "", "operator file")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newVersionCommand(), newCheckConfigCommand(&files))
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "tulipshelf", version)
		},
	}
}

func newCheckConfigCommand(files *configFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config",
		Short: "Check the settings and the operator file, and name every fault",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configuration, err := files.read()
			if err != nil {
				return err
			}
			for _, warning := range configuration.settings.Warnings() {
				fmt.Fprintln(cmd.OutOrStdout(), "note:", warning)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are sound")
			return nil
		},
	}
}

// noArgs refuses any argument, such as the name of a subcommand that does not exist. The error is a
// usageError.
func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}
