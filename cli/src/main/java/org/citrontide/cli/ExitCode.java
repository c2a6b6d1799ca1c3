package org.citrontide.cli;

/** What the exit code of a command says. Immutable. */
enum ExitCode {
    /** The command did what was asked. */
    DONE(0),
    /** A file is not valid, or another publication was first. */
    REFUSED(1),
    /** The words of the command or a settings file are wrong. */
    USAGE(2),
    /** The platform's service or a process did not answer. */
    UNREACHABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
