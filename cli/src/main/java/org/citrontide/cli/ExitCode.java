package org.citrontide.cli;

/** The exit codes of the commands. Immutable. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** A file is invalid, or a concurrent publication conflicts. */
    REFUSED(1),
    /** The command line or a settings file is invalid. */
    USAGE(2),
    /** The platform's key-value service or a process did not answer. */
    UNREACHABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
