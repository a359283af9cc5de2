/** Lists the field names that a schema allows at a path. */
import {z} from 'zod';

/** Removes optional and default wrappers from a schema. */
const unwrapSchema = (schema: unknown): unknown => {
	let inner = schema;
	while (inner instanceof z.ZodOptional || inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault) {
		inner = inner.unwrap();
	}

	return inner;
};

/** Schema of a field, list element or record value; undefined where the schema declares none. */
const childSchema = (schema: unknown, part: PropertyKey): unknown => {
	const inner = unwrapSchema(schema);
	if (inner instanceof z.ZodObject) {
		return (inner.shape as Record<PropertyKey, unknown>)[part];
	}

	if (inner instanceof z.ZodArray) {
		return inner.element;
	}

	return inner instanceof z.ZodRecord ? inner.valueType : undefined;
};

/** Returns the names of the fields at a path of a schema, or an empty list where the schema has no fixed fields. */
export const knownFields = (schema: z.ZodType, path: readonly PropertyKey[]): string[] => {
	let current: unknown = schema;
	for (const part of path) {
		current = childSchema(current, part);
	}

	const inner = unwrapSchema(current);
	return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
};
