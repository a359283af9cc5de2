/** Readable tables. */
import {type Column, columnType} from '../tables/columns.js';
import {type CellValue} from '../tables/rows.js';

const gap = '  ';
const shownDecimals = 3;

const spanUnits = [
	{unit: 'd', lengthMs: 86_400_000},
	{unit: 'h', lengthMs: 3_600_000},
	{unit: 'm', lengthMs: 60_000},
	{unit: 's', lengthMs: 1000},
] as const;

/** A length of time such as `1.5s`. */
export const formatSpan = (spanMs: number): string => {
	const unit = spanUnits.find(({lengthMs}) => Math.abs(spanMs) >= lengthMs);
	return unit ? `${Number((spanMs / unit.lengthMs).toFixed(1))}${unit.unit}` : `${Math.round(spanMs)}ms`;
};

/** A time in ISO 8601 form. */
export const formatTime = (time: number): string => new Date(time).toISOString();

/** A cell as text. */
export const formatCell = (column: Column, cell: CellValue | undefined): string => {
	if (cell === undefined) {
		return '-';
	}

	if (column.type === columnType.span && typeof cell === 'number') {
		return formatSpan(cell);
	}

	if (column.type === columnType.time && typeof cell === 'number') {
		return formatTime(cell);
	}

	if (typeof cell === 'number') {
		return String(Number(cell.toFixed(shownDecimals)));
	}

	if (Array.isArray(cell)) {
		return cell.join(',') || '-';
	}

	return String(cell);
};

/** Lines of a table with a heading, each column as wide as its widest cell. */
export const formatTable = (heading: readonly string[], lines: ReadonlyArray<readonly string[]>): string[] => {
	const widths = heading.map((title, index) =>
		Math.max(title.length, ...lines.map(line => line[index]?.length ?? 0)));
	return [heading, ...lines].map(line =>
		line.map((text, index) => text.padEnd(widths[index] ?? 0)).join(gap).trimEnd());
};
