/** Field names that a schema knows at a path. */
import {z} from 'zod';

/** The schema inside wrappers such as optional fields and defaults. */
const unwrap = (schema: unknown): unknown => {
	let inner = schema;
	while (inner instanceof z.ZodOptional || inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault) {
		inner = inner.unwrap();
	}

	return inner;
};

const descend = (schema: unknown, part: PropertyKey): unknown => {
	const inner = unwrap(schema);
	if (inner instanceof z.ZodObject) {
		return (inner.shape as Record<PropertyKey, unknown>)[part];
	}

	if (inner instanceof z.ZodArray) {
		return inner.element;
	}

	return inner instanceof z.ZodRecord ? inner.valueType : undefined;
};

/** Names of the fields at a path of a schema; empty where the schema has no fixed fields. */
export const knownFields = (schema: z.ZodType, path: readonly PropertyKey[]): string[] => {
	let current: unknown = schema;
	for (const part of path) {
		current = descend(current, part);
	}

	const inner = unwrap(current);
	return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
};
