/** Shell completion of statements. */
/* eslint-disable no-template-curly-in-string -- the shells expand these variables */
import {completeStatement} from '../language/completion.js';

/** Completion scripts by the name of the shell. */
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

/** Lists the words that may follow the text, one per line. */
export const listCompletions = (text: string): string => completeStatement(text).join('\n');
