package org.tamarackline.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of processes. They are IPv4 addresses, so that no name service is needed. */
public final class Addresses {

    private static final Pattern IP_AND_PORT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final int IP_PARTS = 4;
    private static final int MAX_IP_PART = 255;
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Returns whether {@code address} is an IPv4 address and a port from 1 to 65535, such as {@code 10.0.0.5:7400}. */
    public static boolean isIpAndPort(String address) {
        Matcher matcher = IP_AND_PORT.matcher(address);
        if (!matcher.matches()) {
            return false;
        }
        for (int part = 1; part <= IP_PARTS; part++) {
            if (Integer.parseInt(matcher.group(part)) > MAX_IP_PART) {
                return false;
            }
        }
        int port = Integer.parseInt(matcher.group(IP_PARTS + 1));
        return port >= 1 && port <= MAX_PORT;
    }

    /** Returns whether {@code url} is an HTTP URL with an IPv4 host, a port and no query. */
    public static boolean isHttpUrl(String url) {
        try {
            URI uri = new URI(url);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return http && isIpAndPort(String.valueOf(uri.getAuthority())) && uri.getQuery() == null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /** Returns the IPv4 address without the port. */
    public static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns the port of an address. */
    public static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
