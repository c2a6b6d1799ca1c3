package org.citrontide.review;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.file.Path;

/** Plays one case: the first argument is the name of its class, the second the file of the record. */
final class Main {
    private Main() {}

    public static void main(String[] args) {
        int code;
        try (World world = new World(Path.of(args[1]))) {
            Method play = Class.forName("org.citrontide.review." + args[0]).getDeclaredMethod("play", World.class);
            code = (Integer) play.invoke(null, world);
        } catch (IOException | ReflectiveOperationException | RuntimeException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            System.err.println("the case could not run: " + cause);
            code = World.NOT_RUN;
        }
        System.exit(code);
    }
}
