package org.tamarackline.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import com.google.common.flogger.FluentLogger;

/**
 * Runs an action on each SIGHUP.
 *
 * <p>The JVM ends the process on SIGHUP unless a handler is installed. The class for that, {@code sun.misc.Signal}, is
 * not part of the standard Java API, so it is accessed by reflection.
 */
final class HangupSignal {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private HangupSignal() {}

    static void onHangup(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException failure) {
            LOGGER.atWarning().withCause(failure).log(
                    "could not install a SIGHUP handler; SIGHUP will terminate the process");
        }
    }
}
