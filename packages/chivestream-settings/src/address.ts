/** Network addresses written as `ip:port` or `[ip6]:port`. */
import {isIPv4, isIPv6} from 'node:net';

/** A parsed address. On port 0, the operating system chooses the port to listen on. */
export type Address = {
	ip: string;
	port: number;
};

const ip4Pattern = /^(?<ip>[\d.]+):(?<port>0|[1-9]\d{0,4})$/v;
const ip6Pattern = /^\[(?<ip>[0-9a-f:.]+)\]:(?<port>0|[1-9]\d{0,4})$/iv;
const maxPort = 65_535;
const unspecifiedIps = new Set(['0.0.0.0', '::']);

/** Parses `ip:port` or `[ip6]:port`; returns undefined if the text has neither form, or the port has a leading zero or
 * exceeds 65535. */
export const parseAddress = (text: string): Address | undefined => {
	const groups = (ip4Pattern.exec(text) ?? ip6Pattern.exec(text))?.groups;
	const {ip = '', port = ''} = groups ?? {};
	if (!isIPv4(ip) && !isIPv6(ip)) {
		return undefined;
	}

	return Number(port) <= maxPort ? {ip, port: Number(port)} : undefined;
};

/** Whether other hosts can connect to an address: its port is not 0 and its IP address is not a wildcard. */
export const isReachableAddress = (text: string): boolean => {
	const address = parseAddress(text);
	return address !== undefined && address.port > 0 && !unspecifiedIps.has(address.ip);
};

/** Formats an address as `ip:port`, or `[ip6]:port` for IPv6. */
export const formatAddress = ({ip, port}: Address): string => isIPv6(ip) ? `[${ip}]:${port}` : `${ip}:${port}`;
