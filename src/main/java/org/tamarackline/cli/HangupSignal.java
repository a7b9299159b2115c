package org.tamarackline.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import com.google.common.flogger.FluentLogger;

/**
 * Runs an action at each SIGHUP.
 *
 * <p>The virtual machine ends the process at SIGHUP unless a handler is set. The class that sets one is not part of the
 * platform's standard interface, so it is reached by reflection.
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
            LOGGER.atWarning().withCause(failure).log("SIGHUP cannot be handled here; it will end the process");
        }
    }
}
