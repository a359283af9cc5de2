/** Formats tables as aligned text. */
import {type Column, columnType} from '../tables/columns.js';
import {type CellValue} from '../tables/rows.js';

const columnSeparator = '  ';
const maxDecimals = 3;

const durationUnits = [
	{unit: 'd', lengthMs: 86_400_000},
	{unit: 'h', lengthMs: 3_600_000},
	{unit: 'm', lengthMs: 60_000},
	{unit: 's', lengthMs: 1000},
] as const;

/** Formats a duration in its largest fitting unit, such as `1.5s`. */
export const formatDuration = (durationMs: number): string => {
	const unit = durationUnits.find(({lengthMs}) => Math.abs(durationMs) >= lengthMs);
	return unit ? `${Number((durationMs / unit.lengthMs).toFixed(1))}${unit.unit}` : `${Math.round(durationMs)}ms`;
};

/** Formats a time, given in milliseconds since the Unix epoch, in ISO 8601 form. */
export const formatTime = (time: number): string => new Date(time).toISOString();

/** Formats a cell according to the type of its column; `-` stands for a missing or empty value. */
export const formatCell = (column: Column, cell: CellValue | undefined): string => {
	if (cell === undefined) {
		return '-';
	}

	if (column.type === columnType.span && typeof cell === 'number') {
		return formatDuration(cell);
	}

	if (column.type === columnType.time && typeof cell === 'number') {
		return formatTime(cell);
	}

	if (typeof cell === 'number') {
		return String(Number(cell.toFixed(maxDecimals)));
	}

	if (Array.isArray(cell)) {
		return cell.join(',') || '-';
	}

	return String(cell);
};

/** Formats a heading and rows as lines; each column is as wide as its widest cell. */
export const formatTable = (heading: readonly string[], lines: ReadonlyArray<readonly string[]>): string[] => {
	const widths = heading.map((title, index) =>
		Math.max(title.length, ...lines.map(line => line[index]?.length ?? 0)));
	return [heading, ...lines].map(line =>
		line.map((text, index) => text.padEnd(widths[index] ?? 0)).join(columnSeparator).trimEnd());
};
