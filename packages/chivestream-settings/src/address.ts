/** Network addresses written as `ip:port` or `[ip6]:port`. */
import {isIPv4, isIPv6} from 'node:net';

/** An address in its two parts. Port 0 lets the system choose. */
export type Address = {
	ip: string;
	port: number;
};

const ip4Pattern = /^(?<ip>[\d.]+):(?<port>\d{1,5})$/v;
const ip6Pattern = /^\[(?<ip>[0-9a-f:.]+)\]:(?<port>\d{1,5})$/iv;
const maxPort = 65_535;
const unspecifiedIps = new Set(['0.0.0.0', '::']);

/** The parts of `ip:port` or `[ip6]:port`; undefined when the text is neither. */
export const parseAddress = (text: string): Address | undefined => {
	const groups = (ip4Pattern.exec(text) ?? ip6Pattern.exec(text))?.groups;
	const {ip = '', port = ''} = groups ?? {};
	if (!isIPv4(ip) && !isIPv6(ip)) {
		return undefined;
	}

	return Number(port) <= maxPort ? {ip, port: Number(port)} : undefined;
};

/** Whether an address can be given to others: it has a port and names one machine. */
export const isReachableAddress = (text: string): boolean => {
	const address = parseAddress(text);
	return address !== undefined && address.port > 0 && !unspecifiedIps.has(address.ip);
};

/** The text form of an address. */
export const formatAddress = ({ip, port}: Address): string => isIPv6(ip) ? `[${ip}]:${port}` : `${ip}:${port}`;
