package org.tamarackline.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.dropwizard.logging.common.BootstrapLogging;
import org.kohsuke.args4j.Option;
import org.tamarackline.cli.Command;
import org.tamarackline.cli.UsageException;

/** Command-line command that runs one stand-in as a process until the process is terminated. */
public abstract class StandinCommand implements Command {

    @Option(name = "--address", metaVar = "IP:PORT", usage = "address to listen on; port 0 selects a free port")
    private String address = "127.0.0.1:0";

    @Option(name = "--ready-file", metaVar = "FILE", usage = "file to write the address to once requests are accepted")
    private Path readyFile;

    /** Starts the stand-in and returns the address that it listens on. */
    protected abstract String start(InetSocketAddress listenAddress) throws Exception;

    @Override
    public final int run() throws Exception {
        BootstrapLogging.bootstrap(Level.WARN);
        String boundAddress = start(parseAddress(address));
        System.out.println("listening on " + boundAddress);
        if (readyFile != null) {
            writeAtomically(readyFile, boundAddress);
        }
        CountDownLatch never = new CountDownLatch(1);
        never.await();
        return 0;
    }

    private static InetSocketAddress parseAddress(String text) throws UsageException {
        try {
            HostAndPort hostAndPort = HostAndPort.fromString(text);
            InetAddress host = InetAddresses.forString(hostAndPort.getHost());
            return new InetSocketAddress(host, hostAndPort.getPort());
        } catch (IllegalArgumentException | IllegalStateException invalid) {
            throw new UsageException("--address must be an IP address and a port, such as 127.0.0.1:0");
        }
    }

    /** Replaces a file atomically, so that readers never see a part of the content. */
    private static void writeAtomically(Path file, String content) throws Exception {
        Path partial = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(partial, content);
        Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
