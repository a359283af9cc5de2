/** Completion of statements in the shell. */
/* eslint-disable no-template-curly-in-string -- the shells expand these */
import {completeStatement} from '../language/completion.js';

/** Shells for which a completion script is known. */
export const completionScripts: Partial<Record<string, string>> = {
	bash: [
		'_chivestream() {',
		'	local words="${COMP_WORDS[*]:1:COMP_CWORD-1}"',
		'	mapfile -t COMPREPLY < <(compgen -W "$(chivestream complete "$words")" -- "${COMP_WORDS[COMP_CWORD]}")',
		'}',
		'complete -o default -F _chivestream chivestream',
	].join('\n'),
	zsh: [
		'#compdef chivestream',
		'compadd -- $(chivestream complete "${words[2,CURRENT-1]}")',
	].join('\n'),
	fish: 'complete -c chivestream -f -a "(chivestream complete (commandline -opc)[2..])"',
};

/** Words that may follow, one a line. */
export const listCompletions = (text: string): string => completeStatement(text).join('\n');
