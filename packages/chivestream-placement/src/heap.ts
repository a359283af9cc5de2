/** A binary heap whose elements can be removed or moved from anywhere in O(log n). */

/** An element of a heap. Pass it to `remove` or `update` to remove or move the element. */
export type HeapNode<Element> = {
	value: Element;
	/** Position in the heap; -1 once removed. */
	position: number;
};

/** A heap ordered by the function passed to `createHeap`. */
export type Heap<Element> = {
	size: () => number;
	/** The first element, which stays in the heap. */
	peek: () => Element | undefined;
	push: (value: Element) => HeapNode<Element>;
	/** Removes and returns the first element. */
	pop: () => Element | undefined;
	/** Removes the element; does nothing if it was removed before. */
	remove: (node: HeapNode<Element>) => void;
	/** Restores the order after a change to the element; does nothing if it was removed. */
	update: (node: HeapNode<Element>) => void;
	/** All elements, in no particular order. */
	values: () => Element[];
};

/** Creates an empty heap whose first element is the one that `isBefore` places before all others. */
export const createHeap = <Element>(isBefore: (left: Element, right: Element) => boolean): Heap<Element> => {
	const nodes: Array<HeapNode<Element>> = [];

	const place = (node: HeapNode<Element>, position: number) => {
		nodes[position] = node;
		node.position = position;
	};

	const siftUp = (node: HeapNode<Element>) => {
		let {position} = node;
		while (position > 0) {
			const parentPosition = Math.trunc((position - 1) / 2);
			const parent = nodes[parentPosition]!;
			if (!isBefore(node.value, parent.value)) {
				break;
			}

			place(parent, position);
			position = parentPosition;
		}

		place(node, position);
	};

	const siftDown = (node: HeapNode<Element>) => {
		let {position} = node;
		for (;;) {
			const leftPosition = (2 * position) + 1;
			const left = nodes[leftPosition];
			if (!left) {
				break;
			}

			const right = nodes[leftPosition + 1];
			const child = right && isBefore(right.value, left.value) ? right : left;
			if (!isBefore(child.value, node.value)) {
				break;
			}

			const childPosition = child.position;
			place(child, position);
			position = childPosition;
		}

		place(node, position);
	};

	const update = (node: HeapNode<Element>) => {
		if (node.position < 0) {
			return;
		}

		siftUp(node);
		siftDown(node);
	};

	const remove = (node: HeapNode<Element>) => {
		const {position} = node;
		if (position < 0) {
			return;
		}

		node.position = -1;
		const last = nodes.pop()!;
		if (last !== node) {
			place(last, position);
			update(last);
		}
	};

	return {
		size: () => nodes.length,
		peek: () => nodes[0]?.value,
		push(value) {
			const node = {value, position: nodes.length};
			nodes.push(node);
			siftUp(node);
			return node;
		},
		pop() {
			const first = nodes[0];
			if (!first) {
				return undefined;
			}

			remove(first);
			return first.value;
		},
		remove,
		update,
		values: () => nodes.map(node => node.value),
	};
};
